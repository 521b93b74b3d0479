// Package review plays the cases of the review: entry daemons as separate processes in front
// of stand-ins for the platform, its backend servers and its callers. It consists of test
// files, but has no tests: its test binary plays one case.
package review
