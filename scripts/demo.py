"""Runs a local fleet under a mixed load and prints the results by kind of request."""

import argparse
import subprocess
import sys

from fleet import Fleet, PROFILES


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=PROFILES, default="clearline")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    profile = PROFILES[options.profile]
    with Fleet(options.profile) as fleet:
        print(f"{fleet.control_count} control members, {fleet.entry_count} entries, "
              f"{sum(n for _, n, _ in fleet.services)} targets; logs in {fleet.folder}")
        code = subprocess.run(fleet.load_command(
            mix=profile["mix"], rate=profile["rate"], seconds=options.seconds)).returncode
        if options.keep:
            print(f"callers: {fleet.caller_addresses}\ncontrol: {fleet.control_addresses}\n"
                  f"key: {fleet.key_file}")
            input("press return to stop the fleet ")
        codes = fleet.stop()
    failed = [name for name, value in codes.items() if value != 0]
    if failed:
        print("exited with an error:", ", ".join(failed))
    return 1 if code != 0 or failed else 0


if __name__ == "__main__":
    sys.exit(main())
