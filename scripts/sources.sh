#!/bin/sh
# Lists the C and C++ files of the project, one per line.
find src platform test bench demo soak examples include \( -name '*.c' -o -name '*.h' -o -name '*.cc' \) |
	LC_ALL=C sort
