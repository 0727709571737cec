#!/bin/sh
# Builds the stand-ins that the scripts of review/ start.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o bin/review-rig ./review/rig
