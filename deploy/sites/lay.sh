#!/bin/sh
# Lays the bench's own files beside the deployments here, from its kit: `deploy/sites/lay.sh KIT`. They stay out of the repository.
set -eu
kit=${1:?"the folder of the kit"}
here=$(dirname "$0")
for name in real.json wire.json unlock.txt; do
    cp "$kit/sites/$name" "$here/$name"
    chmod u+w "$here/$name"
done
