"""Tests that a build folder is not used for other sources than its own."""

import os
import subprocess
import tempfile
import unittest
from pathlib import Path

MODULE = Path(__file__).resolve().parents[2] / "cmake" / "StaleObjects.cmake"
PROJECT = """cmake_minimum_required(VERSION 3.25)
project(example LANGUAGES CXX)
{include}
add_executable(example main.cpp other.cpp)
"""
YEAR_2001 = 1e9


class StaleObjects(unittest.TestCase):
    """A small project, built once."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        self.source = self.root / "main.cpp"
        (self.root / "CMakeLists.txt").write_text(
            PROJECT.format(include=f"include({MODULE})"))
        (self.root / "other.cpp").write_text("int other() { return 0; }\n")
        self.write(1)
        self.build()

    def write(self, status):
        """Makes the program end with a status."""
        self.source.write_text(f"int main() {{ return {status}; }}\n")

    def build(self):
        """Configures and builds as the deploy file does; returns the output."""
        output = ""
        for command in (["cmake", "-S", ".", "-B", "target", "-G", "Ninja"],
                        ["cmake", "--build", "target"]):
            output += subprocess.run(command, cwd=self.root, check=True, text=True,
                                     stdout=subprocess.PIPE, stderr=subprocess.STDOUT).stdout
        return output

    def status(self):
        """Exit status of the built program."""
        return subprocess.run([self.root / "target" / "example"], check=False).returncode

    def test_source_that_is_replaced_by_an_older_one_is_compiled(self):
        """Guards against a program of earlier sources: a work tree that was
        unpacked over a build folder has the times of the archive."""
        self.write(2)
        os.utime(self.source, (YEAR_2001, YEAR_2001))
        self.build()
        self.assertEqual(self.status(), 2)

    def test_folder_without_a_record_of_its_sources_is_built_anew(self):
        """Guards against the objects of a folder from another machine or from
        before the sources were recorded."""
        (self.root / "target" / "source_digests.txt").write_text("other machine\n")
        self.assertIn("objects removed", self.build())
        self.assertEqual(self.status(), 1)

    def test_unchanged_sources_are_not_compiled_again(self):
        """Guards against a full build at each configuration."""
        output = self.build()
        self.assertNotIn("objects removed", output)
        self.assertIn("no work to do", output)


if __name__ == "__main__":
    unittest.main()
