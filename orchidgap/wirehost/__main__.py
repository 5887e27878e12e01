import sys

from orchidgap.wirehost.codec import Malformed, serve

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except Malformed as fault:
    sys.exit(f"orchidgap.wirehost: {fault}")
except UnicodeDecodeError as fault:
    sys.exit(f"orchidgap.wirehost: a line is not UTF-8: {fault.object[:40]!r}")
