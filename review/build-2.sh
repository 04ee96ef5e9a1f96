#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: the daemon, with the command of the deploy file, and
# the stand-ins. Those are Python sources that need the standard library only, so they are just compiled.
set -e
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
cd review
python3 -B - standin-2/*.py [6-9]/case.py 10/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, 'exec')
print('the stand-ins compile')
PYTHON
