# build, test, lint and run; see README.md.
MAVEN := mvn -B
JAR := target/lemondeal.jar
# Memory is bounded on every side: heap, classes, code, stacks and buffers off the heap.
JAVA := java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms32m -Xmx64m -XX:MaxMetaspaceSize=40m \
	-XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=32m -Xss512k -XX:-UsePerfData

.PHONY: build test lint run clean

build:
	$(MAVEN) -q -DskipTests package

test:
	$(MAVEN) verify

# Every warning of the compiler counts.
lint:
	$(MAVEN) -q clean test-compile -Dlint.failOnWarning=true

run:
	GW_CONFIG=example/config.json $(JAVA) -jar $(JAR) serve

clean:
	$(MAVEN) -q clean
