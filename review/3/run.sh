#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout -k 2 118 python3 case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
