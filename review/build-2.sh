#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs nothing but the JDK.
cd "$(dirname "$0")" || exit 2
mkdir -p standins2/target && javac -Xlint:all -Xlint:-serial -Werror -d standins2/target standins2/*.java
