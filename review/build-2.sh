#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  [[ -f $folder/case.rs ]] || continue
  rustc --edition 2024 -O -o "target/review-2/case-${folder##*/}" "$folder/case.rs"
done
