#!/usr/bin/env bash
# A part of prompts crashes runners after the first event: is it kept from them?
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case-2.sh" "$folder" first-event
