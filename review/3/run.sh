#!/bin/sh
# Plays the case odd-report; see claim.txt. Build the deploy file and review/build.sh first.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-harness odd-report ../.. record.txt
