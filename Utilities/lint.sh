#!/usr/bin/env bash
# Checks the formatting and the terminology, and runs clang-tidy.
#   Utilities/lint.sh [BUILD_DIR [BASE]]
# BUILD_DIR must be a completed build with compile_commands.json. With BASE, a
# commit that passed, clang-tidy checks only the sources whose result can differ
# from that commit: those that changed or include a changed file.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
base=${2:-}
git ls-files -co --exclude-standard -- 'Source/*.cc' 'Source/*.h' 'Tests/*.cc' \
  'Tests/*.h' 'Utilities/*.cc' 'Utilities/*.h' 'platform/*.cc' 'platform/*.h' |
  grep -vE '\.pb\.(cc|h)$' >"$build/lint-files"
xargs clang-format --dry-run --Werror <"$build/lint-files"
cat Utilities/wordlist.txt | while read -r word; do
  # The platform adapter and its tests use the platform's own terms.
  ! grep -nwiE "$word" $(grep -vE '(^|/)platform/' "$build/lint-files") || {
    echo "lint: \"$word\" is not an accepted term in code; see docs/glossary.md"
    exit 1
  }
done
grep '\.cc$' "$build/lint-files" |
  grep -Ff <(sed -n 's/^ *"file": ".*\/\(\(Source\|Tests\|Utilities\|platform\)\/.*\)".*/\1/p' \
    "$build/compile_commands.json") >"$build/lint-sources"
if [ -n "$base" ] && git merge-base --is-ancestor "$base" HEAD 2>/dev/null &&
  git diff --quiet "$base" -- .clang-tidy CMakeLists.txt Source/CMakeLists.txt
then
  git diff --name-only "$base" >"$build/lint-changed"
  # Prints each source file that has a changed dependency.
  ninja -C "$build" -t deps | awk -v root="$PWD/" '
    NR == FNR { changed[$0] = 1; next }
    /^[^ ]/ { source = ""; next }
    NF == 1 {
      sub(".*" root, "", $1)
      if (source == "") source = $1
      if ($1 in changed) print source
    }' "$build/lint-changed" - | sort -u >"$build/lint-affected"
  grep -Fxf "$build/lint-affected" "$build/lint-sources" >"$build/lint-selected" || true
  mv "$build/lint-selected" "$build/lint-sources"
fi
echo "lint: $(wc -l <"$build/lint-sources") sources"
xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet \
  --extra-arg=-Wno-unknown-warning-option -p "$build" \
  <"$build/lint-sources" 2>"$build/lint-log" ||
  { grep -E 'error' "$build/lint-log" | head; exit 1; }
echo "lint: clean"
