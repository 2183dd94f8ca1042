#!/bin/sh
# List the C and C++ files that belong to the project, one a line.
find src platform test bench demo soak examples include \( -name '*.c' -o -name '*.h' -o -name '*.cc' \) |
	LC_ALL=C sort
