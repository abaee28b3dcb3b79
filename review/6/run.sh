#!/bin/bash
# Jobs are cancelled right after the instance that schedules has frozen. Build first: review/build-2.sh
cd "$(dirname "$0")/../.."
exec target/review-2/trial cancel-freeze review/6
