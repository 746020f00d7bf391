#!/bin/sh
# Builds the stand-ins of the second review: the platform's store, the servers, the clients and the checks.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/second/bin/standins ./review/second/platform
