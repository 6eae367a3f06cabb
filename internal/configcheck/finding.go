package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// Severity tells what VMs do with a configuration that has a finding.
type Severity string

// The severities.
const (
	// Error means that VMs would not put the configuration in force.
	Error Severity = "Error"
	// Warning means that VMs would put the configuration in force, but probably not to the effect that was meant.
	Warning Severity = "Warning"
)

// Code identifies a kind of finding; codes stay the same between releases.
type Code string

// The codes of errors.
const (
	Undecodable Code = "Undecodable"
	NotNewer    Code = "NotNewer"
)

// The codes of warnings about what VMs ignore or replace when they decode a configuration.
const (
	InvalidText     Code = "InvalidText"
	UnknownField    Code = "UnknownField"
	RepeatedField   Code = "RepeatedField"
	FractionDropped Code = "FractionDropped"
	UnknownKind     Code = "UnknownKind"
	UnknownUnit     Code = "UnknownUnit"
	EmptyKey        Code = "EmptyKey"
	ServiceIgnored  Code = "ServiceIgnored"
	AttemptsRaised  Code = "AttemptsRaised"
)

// The codes of warnings about routes.
const (
	RepeatedRoute      Code = "RepeatedRoute"
	HiddenRoute        Code = "HiddenRoute"
	PrefixWithoutSlash Code = "PrefixWithoutSlash"
	NoTimeout          Code = "NoTimeout"
	ObjectiveTooLong   Code = "ObjectiveTooLong"
	EventGapTooLong    Code = "EventGapTooLong"
	UnknownTarget      Code = "UnknownTarget"
	NoWeight           Code = "NoWeight"
	NegativeWeight     Code = "NegativeWeight"
)

// The codes of warnings about services and models.
const (
	RepeatedService  Code = "RepeatedService"
	UnreachedService Code = "UnreachedService"
	NoModels         Code = "NoModels"
	RepeatedModel    Code = "RepeatedModel"
	ModelTooLarge    Code = "ModelTooLarge"
)

// The codes of warnings about accounts and limits.
const (
	RepeatedAccount      Code = "RepeatedAccount"
	NoKeys               Code = "NoKeys"
	SharedKey            Code = "SharedKey"
	NoBurst              Code = "NoBurst"
	BurstTooSmall        Code = "BurstTooSmall"
	BurstWithoutRate     Code = "BurstWithoutRate"
	RateTooSmall         Code = "RateTooSmall"
	NoPlainCost          Code = "NoPlainCost"
	HeaderTimeoutTooLong Code = "HeaderTimeoutTooLong"
)

// Finding is one thing that is wrong with a configuration, or probably not meant.
type Finding struct {
	Severity Severity
	Code     Code
	// Entry names the entry concerned, such as "route chat", or a place in the file.
	Entry string
	// Message is one sentence.
	Message string
}

// Check returns the findings about a configuration, in no particular order.
func Check(c *catalog.Catalog) []Finding {
	var findings findings
	findings.checkRoutes(c)
	findings.checkServices(c)
	findings.checkAccounts(c.Accounts())
	findings.checkLimits(c.Limits)
	return findings
}

// CheckSuccessor returns the findings about a configuration that is to replace another.
func CheckSuccessor(next, inForce *catalog.Catalog) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error,
		Code:     NotNewer,
		Entry:    "version",
		Message:  fmt.Sprintf("Version %d is not newer than %d, which is in force, so VMs ignore it.", next.Version, inForce.Version),
	}}
}

// Sort orders findings by severity, errors first, then by code, entry and message.
func Sort(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int {
		// Error sorts before Warning by name.
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Entry, b.Entry),
			cmp.Compare(a.Message, b.Message))
	})
}

// findings collects findings.
type findings []Finding

func (f *findings) warn(code Code, entry, format string, args ...any) {
	*f = append(*f, Finding{
		Severity: Warning,
		Code:     code,
		Entry:    entry,
		Message:  fmt.Sprintf(format, args...),
	})
}
