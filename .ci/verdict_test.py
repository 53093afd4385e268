#!/usr/bin/env python3
"""Tests of .ci/verdict on made-up reports, and of .ci/test on a made-up Maven."""
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

VERDICT = Path(__file__).with_name("verdict")
GREEN = '<testcase name="works" classname="a.OneTest" time="0.1"/>'
RED = '<testcase name="fails" classname="a.OneTest"><failure message="no">at</failure></testcase>'
LISTED = ("a.OneTest#fails; command: mvn -pl m test -Dtest=OneTest; seed: none; seen: the server's side stays open; "
          "issue 27\n")
SOAK = 'soak; command: make soak SOAK="--from 731001 --seeds 1"; seed: 731001; seen: one attempt too many; issue 28\n'
SCRIPT = "review/7/run.sh; command: review/7/run.sh; seed: none; seen: 3 of 5 runs lost a request; issue 29\n"


class VerdictTest(unittest.TestCase):

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.log = self.root / "log"
        self.log.write_text("[INFO] BUILD SUCCESS\n")
        (self.root / "pom.xml").write_text("<project><modules><module>m</module><module>n</module></modules></project>")
        self.report("m", "a.OneTest", GREEN)
        self.report("n", "b.TwoTest", '<testcase name="works" classname="b.TwoTest"/>')

    def report(self, module, test_class, *cases):
        source = self.root / module / "src/test/java" / (test_class.replace(".", "/") + ".java")
        source.parent.mkdir(parents=True, exist_ok=True)
        source.write_text("class")
        reports = self.root / module / "target/surefire-reports"
        reports.mkdir(parents=True, exist_ok=True)
        failures = sum("<failure" in case for case in cases)
        errors = sum("<error" in case for case in cases)
        file = reports / f"TEST-{test_class}.xml"
        file.write_text(f'<testsuite tests="{len(cases)}" failures="{failures}" errors="{errors}">'
                        + "".join(cases) + "</testsuite>")
        return file

    def known(self, text):
        (self.root / "KNOWN-RED.txt").write_text(text)

    def judged(self):
        run = subprocess.run([VERDICT, self.root, self.log], capture_output=True, text=True)
        self.assertEqual("", run.stderr)
        return run.returncode, run.stdout

    def assert_passed(self):
        code, said = self.judged()
        self.assertEqual(0, code, said)
        return said

    def assert_failed(self, why):
        code, said = self.judged()
        self.assertEqual(1, code, said)
        self.assertIn(why, said)

    def test_green(self):
        self.assertIn("2 green, 0 red", self.assert_passed())

    def test_an_empty_list_changes_nothing(self):
        self.known("\n")
        self.assert_passed()

    def test_red_and_not_listed(self):
        self.report("m", "a.OneTest", GREEN, RED)
        self.assert_failed("red: a.OneTest#fails")
        self.known(LISTED.replace("fails", "works"))
        self.assert_failed("red: a.OneTest#fails")

    def test_an_error_is_red(self):
        self.report("m", "a.OneTest", RED.replace("failure", "error"))
        self.assert_failed("red: a.OneTest#fails")

    def test_a_test_that_failed_before_it_passed_is_red(self):
        self.report("m", "a.OneTest", RED.replace("failure", "flakyFailure"))
        self.assert_failed("red: a.OneTest#fails")

    def test_a_class_that_failed_as_a_whole_is_red_and_cannot_be_listed(self):
        self.report("m", "a.OneTest", '<testcase name="" classname="a.OneTest"><error>at</error></testcase>')
        self.known(LISTED.replace("fails", ""))
        self.assert_failed("red: a.OneTest#")

    def test_red_and_listed(self):
        self.report("m", "a.OneTest", GREEN, RED)
        self.known(LISTED)
        self.assertIn("known red: " + LISTED.strip(), self.assert_passed())

    def test_one_red_argument_makes_a_listed_test_red(self):
        self.report("m", "a.OneTest", RED.replace('"fails"', '"fails(long)[1]"'),
                    GREEN.replace('"works"', '"fails(long)[2]"'))
        self.known(LISTED)
        self.assert_passed()

    def test_green_and_listed(self):
        self.report("m", "a.OneTest", GREEN.replace("works", "fails"))
        self.known(LISTED)
        self.assert_failed("listed, but green: a.OneTest#fails")

    def test_listed_and_not_run(self):
        self.known(LISTED)
        self.assert_failed("listed, but not run: a.OneTest#fails")
        self.report("m", "a.OneTest", GREEN, RED.replace("failure", "skipped"))
        self.assert_failed("listed, but not run: a.OneTest#fails")

    def test_a_skipped_test(self):
        self.report("m", "a.OneTest", GREEN, RED.replace("failure", "skipped"))
        self.assert_failed("skipped: a.OneTest#fails")

    def test_three_lines_and_four(self):
        reds = [RED.replace("fails", f"fails{i}") for i in range(4)]
        lines = [LISTED.replace("fails", f"fails{i}") for i in range(4)]
        self.report("m", "a.OneTest", *reds[:3])
        self.known("".join(lines[:3]))
        self.assert_passed()
        self.report("m", "a.OneTest", *reds)
        self.known("".join(lines))
        self.assert_failed("KNOWN-RED.txt has 4 lines")

    def test_lines_that_lack_something_or_come_twice(self):
        self.report("m", "a.OneTest", RED)
        fields = LISTED.strip().split("; ")
        shortened = ["; ".join(fields[:i] + fields[i + 1:]) for i in range(len(fields))]
        emptied = ["; ".join(fields[:i] + [""] + fields[i + 1:]) for i in range(len(fields))]
        unlabelled = [LISTED.replace(label, "") for label in ("command: ", "seed: ", "seen: ", "issue ")]
        without_content = [LISTED.replace(text, " ") for text in (fields[1][9:], fields[2][6:], fields[3][6:], "27")]
        old_form = ["a.OneTest#fails", "a.OneTest#fails; cause", "a.OneTest#fails; cause; issue 27"]
        others = [LISTED.replace("#fails", ""), LISTED.strip() + "; more", LISTED.replace("27", "none")]
        for line in shortened + emptied + unlabelled + without_content + old_form + others:
            self.known(line)
            self.assert_failed("should have")
        self.known(LISTED * 2)
        self.assert_failed("twice")

    def soak_and_script(self):
        """What entries of a soak and of a script name."""
        (self.root / "Makefile").write_text("SOAK = --from 1\nsoak: lab\n\ttrue\n")
        script = self.root / "review/7/run.sh"
        script.parent.mkdir(parents=True)
        script.write_text("#!/bin/sh\n")
        script.chmod(0o755)
        return script

    def test_a_soak_seed_and_a_script_are_printed_and_not_run(self):
        self.soak_and_script()
        self.known(SOAK + SOAK.replace("731001", "731002") + SCRIPT)
        said = self.assert_passed()
        for line in (SOAK, SCRIPT):
            self.assertIn("known red: " + line.strip(), said)
        self.assertIn("not run: soak 731001", said)
        self.assertIn("not run: review/7/run.sh", said)

    def test_they_excuse_no_red_test(self):
        self.soak_and_script()
        self.known(SOAK + SCRIPT)
        self.report("m", "a.OneTest", GREEN, RED)
        self.assert_failed("red: a.OneTest#fails")

    def test_they_count_among_the_three(self):
        self.soak_and_script()
        self.report("m", "a.OneTest", GREEN, RED)
        self.known(LISTED + SOAK + SCRIPT)
        self.assert_passed()
        self.known(LISTED + SOAK + SOAK.replace("731001", "731002") + SCRIPT)
        self.assert_failed("KNOWN-RED.txt has 4 lines")

    def test_a_soak_without_its_seed(self):
        self.soak_and_script()
        for line in (SOAK.replace("seed: 731001", "seed: none"), SOAK.replace("--from 731001", "--from 73100"),
                     SOAK.replace("make soak", "make test"), SOAK.replace("seed: 731001", "seed: 1")):
            self.known(line)
            self.assert_failed("should have")
        self.known(SOAK * 2)
        self.assert_failed("twice")

    def test_a_soak_without_its_target(self):
        self.known(SOAK)
        self.assert_failed("Makefile has no target soak")
        (self.root / "Makefile").write_text("test:\n\ttrue\n")
        self.assert_failed("Makefile has no target soak")

    def test_a_script_that_is_missing_or_cannot_be_run(self):
        self.known(SCRIPT)
        self.assert_failed("no such script: review/7/run.sh")
        script = self.soak_and_script()
        script.chmod(0o644)
        self.assert_failed("no such script: review/7/run.sh")
        script.unlink()
        script.mkdir()
        self.assert_failed("no such script: review/7/run.sh")

    def test_a_script_elsewhere_or_of_another_command(self):
        self.soak_and_script()
        for line in (SCRIPT.replace("review/7/run.sh", "review/../review/7/run.sh"),
                     SCRIPT.replace("review/7/run.sh", "elsewhere/run.sh"),
                     SCRIPT.replace("review/7/run.sh", "/review/7/run.sh"),
                     SCRIPT.replace("command: review/7/run.sh", "command: true"),
                     SCRIPT.replace("3 of 5 runs lost a request", "")):
            self.known(line)
            self.assert_failed("should have")
        self.known(SCRIPT * 2)
        self.assert_failed("twice")

    def test_what_was_seen_may_say_how_often(self):
        self.soak_and_script()
        self.known(SCRIPT.replace("seen: 3 of 5 runs", "seen in 3 of 5 runs:"))
        self.assert_passed()

    def test_no_reports(self):
        for file in self.root.glob("*/target/surefire-reports/*"):
            file.unlink()
        self.assert_failed("module m: no test ran")

    def test_one_module_without_reports(self):
        (self.root / "n/target/surefire-reports/TEST-b.TwoTest.xml").unlink()
        self.assert_failed("module n: no test ran")

    def test_a_class_without_a_report(self):
        self.report("m", "a.HangsTest", GREEN).unlink()
        self.assert_failed("module m: a.HangsTest left no report")

    def test_a_report_without_tests(self):
        self.report("m", "a.OneTest")
        self.assert_failed("0 tests")

    def test_a_report_that_breaks_off(self):
        file = self.report("m", "a.OneTest", GREEN)
        file.write_text(file.read_text()[:-10])
        self.assert_failed("can't be read")

    def test_a_fork_that_crashed_or_was_ended(self):
        for line in ("[ERROR] The forked VM terminated without properly saying goodbye. VM crash or System.exit called?",
                     "[ERROR] There was a timeout in the fork", "[ERROR] There was a timeout or other error in the fork"):
            self.log.write_text(line)
            self.assert_failed("the log says")
        self.log.write_text("a test prints: The forked VM terminated\n")
        self.assert_passed()


class TestCommandTest(unittest.TestCase):
    """.ci/test with a stand-in for Maven, in a copy of the scripts."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        (self.root / ".ci").mkdir()
        for script in ("test", "verdict"):
            shutil.copy(VERDICT.parent / script, self.root / ".ci" / script)
        (self.root / "pom.xml").write_text("<project><modules><module>m</module></modules></project>")
        (self.root / "m/src/test/java/a").mkdir(parents=True)
        (self.root / "m/src/test/java/a/OneTest.java").write_text("class")

    def run_with(self, case, code=0):
        """What the command comes to if Maven leaves this case and ends with this code."""
        report = f'<testsuite tests="1" failures="{case.count("<failure")}" errors="0">{case}</testsuite>'
        maven = self.root / "maven"
        maven.write_text("#!/bin/sh\nmkdir -p m/target/surefire-reports\n"
                         f"cat >m/target/surefire-reports/TEST-a.OneTest.xml <<'END'\n{report}\nEND\nexit {code}\n")
        maven.chmod(0o755)
        return subprocess.run([self.root / ".ci/test", maven], capture_output=True, text=True).returncode

    def test_green(self):
        self.assertEqual(0, self.run_with(GREEN))

    def test_red(self):
        self.assertEqual(1, self.run_with(RED))

    def test_known_red(self):
        (self.root / "KNOWN-RED.txt").write_text(LISTED)
        self.assertEqual(0, self.run_with(RED))

    def test_maven_fails_for_another_reason(self):
        self.assertEqual(3, self.run_with(GREEN, 3))

    def test_a_report_from_before_does_not_count(self):
        self.assertEqual(0, self.run_with(GREEN))
        (self.root / "maven").write_text("#!/bin/sh\n")
        self.assertEqual(1, subprocess.run([self.root / ".ci/test", self.root / "maven"], capture_output=True).returncode)


if __name__ == "__main__":
    unittest.main()
