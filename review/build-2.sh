#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[6-9] review/10; do
  [ -f "$folder/case.c" ] || continue
  cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "target/review/case-${folder##*/}" "$folder/case.c" review/stand/stand.c
done
