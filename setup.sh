#!/bin/sh
# Installs the packages of packages.txt that are missing.
set -eu
cd "$(dirname "$0")"
missing=
while read -r package; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing="$missing $package"
    fi
done <packages.txt
[ -z "$missing" ] && exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
    --no-install-recommends $missing >/dev/null
