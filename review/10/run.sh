#!/usr/bin/env bash
. "$(dirname "$0")/../common-2/common.sh"
