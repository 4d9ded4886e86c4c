#!/usr/bin/env bash
# Runs test/duties/interleavings.test.ts in several processes, each with its own seed.
# Usage: interleavings.sh [runs per process] [processes]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-1000}
processes=${2:-4}
pids=()
for seed in $(seq 1 "$processes"); do
  DUTIES_RUNS=$runs DUTIES_SEED=$seed node --test --import tsx test/duties/interleavings.test.ts &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
exit $failed
