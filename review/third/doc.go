// Package third holds the stand-ins of the cases 11 to 15, which run.sh of each case
// starts. It consists of test files, which review/build-3.sh builds into one program.
package third
