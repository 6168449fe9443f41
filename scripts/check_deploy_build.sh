#!/usr/bin/env bash
# Runs the build command of deploy/system.toml as a clean machine would, and checks that
# - it succeeds without tests, without root, without a home directory and without downloads;
# - every system file that it reads comes from an essential package, from one listed in `packages`, or from one that a listed
#   package depends on (Recommends don't count);
# - every listed library is used;
# - the daemon accepts settings filled in from the template.
# The machine itself needs at least the listed packages. With --list, prints the files and packages used.
set -euo pipefail
export LC_ALL=C # sort, join and comm agree on one order
cd "$(dirname "$0")/.."
source_dir=$PWD
list=no
[ "${1:-}" != --list ] || list=yes

readonly BUILD_LIMIT_S=900 # the platform's limit for the build command

fail()
{
    echo "deploy build: $*" >&2
    exit 1
}

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
chmod 755 "$work"
mkdir "$work/source" "$work/tools" "$work/pc" "$work/tmp"

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
read -ra packages <<<"$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",' )"
[ -n "$build" ] || fail "deploy/system.toml has no line build = \"...\""
[ ${#packages[@]} -gt 0 ] || fail "deploy/system.toml has no line packages = [...]"

# Names of the packages that apt would install on a machine without any, with those that they depend on.
closure()
{
    apt-get -s --no-install-recommends -o Dir::State::status=/dev/null install "$@" >"$work/apt.log" 2>&1 \
        || { cat "$work/apt.log" >&2; fail "apt can't resolve: $*"; }
    sed -n 's/^Inst \([^ ]*\) .*/\1/p' "$work/apt.log"
}

# One name a file: symbolic links resolved, and no difference between /lib and /usr/lib.
canonical()
{
    { xargs -r -d '\n' realpath -q -- || true; } | sed -E 's#^/(bin|sbin|lib|lib32|lib64)/#/usr/\1/#' | sort -u
}

mapfile -t essential < <(dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p')
{ closure "${packages[@]}"; closure "${essential[@]}"; } | sort -u >"$work/allowed-packages"
# A package that isn't installed here (another alternative of a dependency is) is an error to dpkg, and no matter.
{ xargs dpkg -L <"$work/allowed-packages" 2>/dev/null || true; } | grep -E '^/(usr|bin|sbin|lib)' \
    | grep -vE '^/usr/share/(doc|locale|man|lintian|perl|bash-completion)/' | canonical >"$work/allowed"

# Tools and .pc files of other packages are out of reach, so that the build can't find them, as on a clean machine.
find /usr/bin /usr/sbin -xtype f -executable | sort >"$work/programs"
paste <(xargs -d '\n' realpath <"$work/programs") "$work/programs" | sort -t $'\t' -k 1,1 >"$work/programs-by-file"
join -t $'\t' "$work/programs-by-file" "$work/allowed" | cut -f 2 | xargs -r -d '\n' ln -s -t "$work/tools"
for it in /usr/lib/*/pkgconfig /usr/lib/pkgconfig /usr/share/pkgconfig; do
    find "$it" -name '*.pc' 2>/dev/null || true
done | canonical | comm -12 - "$work/allowed" | xargs -r -d '\n' ln -s -t "$work/pc"

git ls-files -z --cached --others --exclude-standard | grep -zvE '(^|/)tests/|^(\.ci|benchmarks|examples|journal|review|soak)/' \
    | tar -c --null --ignore-failed-read -T - | tar -x -C "$work/source"
cd "$work/source"

as_user=()
if [ "$(id -u)" = 0 ]; then
    chown -R nobody "$work/source" "$work/tmp"
    as_user=(setpriv --reuid=nobody --regid=nogroup --clear-groups)
fi
# Port 9 of the loopback address refuses whoever wants to download something.
clean_env=(env -i PATH="$work/tools" HOME=/nonexistent LANG=C.UTF-8 TMPDIR="$work/tmp" PKG_CONFIG_LIBDIR="$work/pc"
    http_proxy=http://127.0.0.1:9 https_proxy=http://127.0.0.1:9 all_proxy=http://127.0.0.1:9)
echo "deploy build: $build"
started=$SECONDS
if ! "${as_user[@]}" "${clean_env[@]}" timeout "$BUILD_LIMIT_S" bash -c "$build" >"$work/build.log" 2>&1; then
    grep -B1 -A5 -E 'CMake Error|error:|FAILED|No such file|not found' "$work/build.log" | cut -c 1-300 | head -40 >&2 || true
    tail -5 "$work/build.log" | cut -c 1-300 >&2
    fail "the build command fails"
fi
echo "deploy build: done in $((SECONDS - started)) s"
[ -f target/build.ninja ] || fail "target/build.ninja is missing; this check reads what Ninja records"

# What was read: by the compiler and the linker (dependency log), at link time by name, while configuring, and by running it.
cxx=$(sed -n 's/^CMAKE_CXX_COMPILER:[A-Z]*=//p' target/CMakeCache.txt)
{
    ninja -C target -t deps | sed -n 's/^    //p'
    ninja -C target -t inputs pollenspoked
    ninja -C target -t query build.ninja | sed -n 's/^ *|* //p'
    sed -n 's/^[A-Z_0-9]*:FILEPATH=//p' target/CMakeCache.txt
    sed -n 's/^[A-Za-z_0-9]*:INTERNAL=//p' target/CMakeCache.txt
    for it in cc1plus collect2; do "$cxx" -print-prog-name="$it"; done
    for it in as ld ar ranlib; do echo "$work/tools/$it"; done
    for it in crt1.o crti.o crtn.o crtbeginS.o crtendS.o libstdc++.so libm.so libgcc_s.so libgcc.a libc.so; do "$cxx" -print-file-name="$it"; done
    ldd target/bin/pollenspoked | grep -oE '/[^ ]+' || true
    "${clean_env[@]}" pkg-config --version >/dev/null && command -v pkg-config
} | while read -r it; do [ ! -f "$it" ] || echo "$it"; done | canonical | grep -E '^/(usr|opt|etc)/' >"$work/used"

# "package: file" lines; the package database has some files of /usr/lib under /lib.
owners()
{
    { sed -n 's#^/usr##p' "$1"; cat "$1"; } | xargs -r dpkg -S 2>/dev/null | sort -u || true
}

comm -23 "$work/used" "$work/allowed" >"$work/foreign"
[ "$list" = no ] || owners "$work/used"
if [ -s "$work/foreign" ]; then
    owners "$work/foreign" | cut -d: -f 1 | sort | uniq -c >&2
    head -20 "$work/foreign" >&2
    fail "the build uses files of packages that deploy/system.toml neither lists nor reaches"
fi
for it in "${packages[@]}"; do
    case $it in lib*-dev | zlib1g-dev)
        dpkg -L "$it" | canonical | comm -12 - "$work/used" >"$work/used-of-it"
        [ -s "$work/used-of-it" ] || fail "deploy/system.toml lists $it, of which the build uses nothing"
        ;;
    esac
done
echo "deploy build: $(wc -l <"$work/used") system files, all of ${#packages[@]} listed packages and what they depend on"

sed -f "$source_dir/deploy/sample-settings.sed" deploy/pollenspoked.yaml.template >"$work/settings.yaml"
! grep -n '{{' "$work/settings.yaml" >&2 || fail "deploy/sample-settings.sed has no value for a placeholder of the template"
target/bin/pollenspoked --settings "$work/settings.yaml" --check || fail "the daemon rejects the settings made from the template"
echo "deploy build: the daemon accepts the settings made from the template"
