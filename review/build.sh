#!/bin/sh
# Builds the programs of the cases, with their servers and clients, into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[0-9]*/main.go; do
	folder=$(dirname "$main")
	go build -o "review/bin/case$(basename "$folder")" "./$folder"
done
