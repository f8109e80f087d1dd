#!/usr/bin/env bash
# The stand-ins of cases 4 and up are Python with its standard library alone (3.11 or later, for `tomllib`): nothing is
# built. Says whether python3 can load them.
cd "$(dirname "$0")/lib-2" && exec python3 -B -c "import cbor, kit"
