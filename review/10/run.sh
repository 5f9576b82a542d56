#!/bin/bash
exec "$(dirname "$0")/../standin-2/run-case.sh" replaced "$(cd "$(dirname "$0")" && pwd)"
