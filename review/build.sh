#!/usr/bin/env bash
# The stand-ins are Python with its standard library alone: nothing is built. Says whether python3 can load them.
cd "$(dirname "$0")/lib" && exec python3 -B -c "import cluster, state, wire"
