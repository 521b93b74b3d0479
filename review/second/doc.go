// Package second has the stand-ins of the cases 6 to 10 of the review: backend servers, the
// platform with its store, callers and a proxy. They are test files, which the script
// review/build-2.sh builds into one program; the tests of the project do not run them.
package second
