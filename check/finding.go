package check

import (
	"cmp"
	"slices"

	"github.com/juju/errors"
)

// Severity tells whether a finding is a reason not to send a configuration.
type Severity string

// Severities.
const (
	SeverityError   Severity = "error"   // part of the configuration cannot work as written
	SeverityWarning Severity = "warning" // part of it has no effect, or a surprising one
)

// Finding is something that is wrong with a configuration.
type Finding struct {
	Severity Severity
	Subject  Subject
	Message  string
}

// Kind is the kind of entry that a finding or a difference is about.
type Kind string

// Kinds of entries.
const (
	KindConfiguration Kind = "configuration" // the configuration as a whole
	KindRoute         Kind = "route"
	KindService       Kind = "service"
	KindWorkspace     Kind = "workspace"
)

// Subject is an entry of a configuration.
type Subject struct {
	Kind Kind
	Name string // empty for the configuration as a whole
}

// String returns the kind and the name.
func (s Subject) String() string {
	if s.Name == "" {
		return string(s.Kind)
	}
	return string(s.Kind) + " " + s.Name
}

// findings collects what is wrong with one entry after the other.
type findings struct {
	list    []Finding
	subject Subject
}

// about sets the entry that the next findings are about.
func (f *findings) about(kind Kind, name string) {
	f.subject = Subject{Kind: kind, Name: name}
}

// errorIf adds an error if a condition holds.
func (f *findings) errorIf(wrong bool, format string, args ...any) {
	f.add(wrong, SeverityError, format, args...)
}

// warnIf adds a warning if a condition holds.
func (f *findings) warnIf(wrong bool, format string, args ...any) {
	f.add(wrong, SeverityWarning, format, args...)
}

func (f *findings) add(wrong bool, severity Severity, format string, args ...any) {
	if wrong {
		f.list = append(f.list, Finding{Severity: severity, Subject: f.subject, Message: errors.Errorf(format, args...).Error()})
	}
}

// Sorted sorts findings in place, the errors first and otherwise in their order.
func Sorted(list []Finding) []Finding {
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(rankOf(a.Severity), rankOf(b.Severity)) })
	return list
}

func rankOf(severity Severity) int {
	if severity == SeverityError {
		return 0
	}
	return 1
}

// HasErrors reports whether a configuration with these findings should not be sent.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == SeverityError })
}
