#!/bin/bash
# Plays a case of the second review: play-2.sh CLASS RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 in
# all other cases. Whatever ends it, all processes that it has started end too.
cd "$(dirname "$0")/.." || exit 2
class=$1
record=$2
[ -f "target/review-2/org/gatereel/secondreview/$class.class" ] && [ -f target/gatereel-platform.jar ] || exit 2
folder=$(mktemp -d) || exit 2
# timeout leads a process group of its own, in which the hosts are too.
timeout 118 java -cp 'target/review-2:target/lib/*' "org.gatereel.secondreview.$class" "$record" "$folder" &
group=$!
finish() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
