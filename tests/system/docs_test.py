#!/usr/bin/env python3
"""Checks that the documentation lists every flag, metric, log event and error code, and no others."""
import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / (sys.argv.pop(1) if len(sys.argv) > 1 else "build")


def sources():
    """Returns all code that writes logs and metrics."""
    paths = [*(ROOT / "packages").glob("*/src/*.cc"), *(ROOT / "platform").glob("*.cc")]
    paths += [ROOT / "apps" / name / "main.cc" for name in ("vanillalever_gateway", "vanillaleverd")]
    return "\n".join(path.read_text() for path in sorted(paths))


class Pages(unittest.TestCase):
    def test_flags(self):
        """Guards against flags that are missing from the operators' page or exist only there."""
        listing = subprocess.run(
            [BUILD / "apps/vanillaleverd/vanillaleverd", "--helpon=main"], capture_output=True, text=True, check=False
        ).stdout
        known = set(re.findall(r"^\s+-(\w+) \(", listing, re.MULTILINE))
        self.assertGreater(len(known), 15)
        table = (ROOT / "docs/OPERATIONS.md").read_text().split("## Settings")[1].split("## Configuration")[0]
        self.assertEqual(set(re.findall(r"`--(\w+)`", table)), known)

    def test_metrics(self):
        """Guards against metrics that are missing from the operators' page or exist only there."""
        known = set(re.findall(r'"(vl_[a-z_]+)"', sources()))
        page = (ROOT / "docs/OPERATIONS.md").read_text()
        self.assertEqual(set(re.findall(r"`(vl_[a-z_]+)`", page)), known)

    def test_log_events(self):
        """Guards against log events that are missing from the operators' page or exist only there."""
        known = set(re.findall(r'LogEvent\([^;]*?"([a-z_]+)"', sources())) | {"stopped"}
        page = (ROOT / "docs/OPERATIONS.md").read_text().split("Log lines are")[1].split("## Failures")[0]
        self.assertEqual(set(re.findall(r"`([a-z_]+)`", page)) - {"dropped_lines"}, known)

    def test_failed_request_examples(self):
        """Guards against examples with log fields or reasons that the gateway does not write."""
        page = (ROOT / "docs/OPERATIONS.md").read_text().split("### From a failed request")[1].split("## Metrics")[0]
        code = sources()
        fields = set(re.findall(r"\b([a-z_]+)=", " ".join(re.findall(r"^    .*$", page, re.MULTILINE))))
        for field in fields - {"event"}:
            self.assertIn(f'"{field}"', code)
        for reason in re.findall(r'reason="([a-z ]+: [a-z ]+|the time[a-z ]+)"', page):
            self.assertIn(reason, code.replace('"\n', "").replace("\n", " "))

    def test_error_codes(self):
        """Guards against error codes that are missing from the API page or exist only there."""
        header = (ROOT / "packages/base/include/vanillalever/base/error.h").read_text()
        table = header.split("kErrorCodeNames({")[1].split("});")[0]
        known = set(re.findall(r'"(\w+)"', table))
        page = (ROOT / "docs/API.md").read_text()
        self.assertEqual(set(re.findall(r"^\| `(\w+)` \| \d", page, re.MULTILINE)), known)

    def test_control_tool_help(self):
        """Guards against commands of vanillaleverctl that are missing from its help."""
        text = subprocess.run(
            [BUILD / "apps/vanillaleverctl/vanillaleverctl", "--help"], capture_output=True, text=True, check=False
        ).stdout
        for command in ("validate", "diff", "apply", "get", "history", "status", "program show"):
            self.assertIn(f"\n  {command}", text)

    def test_links(self):
        """Guards against links to files that do not exist."""
        for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md"), *ROOT.glob("samples/*.md")]:
            for target in re.findall(r"\]\((?!http)([^)#]+)", page.read_text()):
                self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")


if __name__ == "__main__":
    unittest.main(verbosity=2)
