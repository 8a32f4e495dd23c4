"""Fails if a name of the platform's wire format is a string literal in a source
file outside of platform/, so that only one place decodes the wire format."""
import pathlib
import re
import sys

ROOT = pathlib.Path(sys.argv[1])
# Common words that the product itself also uses for the same things.
COMMON = {"address", "host", "info", "key", "kind", "lease", "limits", "priority",
          "region", "revision", "routes", "service", "services", "slots", "state",
          "status", "timeout", "value", "version", "weight", "zone", "ready",
          "draining", "items", "events", "split", "sequence", "Retry-After"}


def wire_names():
    text = (ROOT / "platform/src/wire_names.hpp").read_text()
    names = set(re.findall(r'= "([^"]+)"', text))
    return {name for name in names if name not in COMMON and len(name) > 4}


def main():
    names = wire_names()
    if len(names) < 20:
        sys.exit("could not parse wire_names.hpp")
    found = []
    for folder in ("packages", "apps", "example"):
        for path in sorted((ROOT / folder).rglob("*.[ch]pp")):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                for name in names:
                    if f'"{name}"' in line:
                        found.append(f"{path}:{number}: {name}")
    print("\n".join(found))
    sys.exit(1 if found else 0)


main()
