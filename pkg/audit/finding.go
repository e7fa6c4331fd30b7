package audit

import (
	"fmt"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Severity is the class of a finding.
type Severity string

// The severities, the most urgent first.
const (
	// Error marks that an instance refuses or ignores the whole configuration.
	Error Severity = "Error"
	// Unreachable marks entries that no request can match.
	Unreachable Severity = "Unreachable"
	// Contradiction marks settings of which one makes another ineffective.
	Contradiction Severity = "Contradiction"
	// Difference marks what changes for callers against another configuration.
	Difference Severity = "Difference"
)

// severities has the severities in the order of Sorted.
var severities = []Severity{Error, Unreachable, Contradiction, Difference}

// Sorted returns the findings by severity, else in their order.
func Sorted(list []Finding) []Finding {
	return slices.SortedStableFunc(slices.Values(list), func(a, b Finding) int {
		return slices.Index(severities, a.Severity) - slices.Index(severities, b.Severity)
	})
}

// Rule names the check that a finding comes from.
type Rule string

// The rules of Check and Refusals.
const (
	RuleRefused              Rule = "Refused"
	RuleHiddenRoute          Rule = "HiddenRoute"
	RulePrefix               Rule = "Prefix"
	RuleZeroWeight           Rule = "ZeroWeight"
	RuleUnknownPool          Rule = "UnknownPool"
	RuleUnusedPool           Rule = "UnusedPool"
	RuleDuplicatePool        Rule = "DuplicatePool"
	RuleSharedKey            Rule = "SharedKey"
	RuleWorkspaceWithoutKeys Rule = "WorkspaceWithoutKeys"
	RuleWorkspacePriority    Rule = "WorkspacePriority"
	RuleModelWithoutCost     Rule = "ModelWithoutCost"
	RuleTimeLimit            Rule = "TimeLimit"
	RuleUnusedAttempts       Rule = "UnusedAttempts"
	RuleUnusedResumption     Rule = "UnusedResumption"
	RuleAttemptsExceedLimit  Rule = "AttemptsExceedLimit"
	RuleScaling              Rule = "Scaling"
	RuleUnbounded            Rule = "Unbounded"
	RuleMemory               Rule = "Memory"
)

// The rules of Compare.
const (
	RuleVersion          Rule = "Version"
	RuleRouteRemoved     Rule = "RouteRemoved"
	RuleKeyRemoved       Rule = "KeyRemoved"
	RuleKeyMoved         Rule = "KeyMoved"
	RuleKeyRequired      Rule = "KeyRequired"
	RuleRequestsMoved    Rule = "RequestsMoved"
	RuleLimitTightened   Rule = "LimitTightened"
	RuleModelRemoved     Rule = "ModelRemoved"
	RulePriorityLowered  Rule = "PriorityLowered"
	RuleRetriesForbidden Rule = "RetriesForbidden"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Rule     Rule
	// Place is the entry, such as Route/plan, or file:line:column when the file has no valid entry there.
	Place string
	// Text says what is wrong or changes, and what to do.
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s %s: %s", f.Place, f.Severity, f.Rule, f.Text)
}

// Workspace is a workspace entry as it stands in a file, which may list a name or a key more than once.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Pool is a service entry as it stands in a file, which may list a name more than once.
type Pool struct {
	Name string
	// ScalingIgnored is true when the entry has bounds for its number of upstreams that an instance ignores as inconsistent.
	ScalingIgnored bool
}

// Configuration is a route table with the entries of its file, of which the table keeps only those in force.
type Configuration struct {
	Table      *catalogue.RouteTable
	Workspaces []Workspace
	Pools      []Pool
}

// limitsPlace is the place of findings on the limits of all requests.
const limitsPlace = "Limits"

func routePlace(r *catalogue.Route) string {
	if r.Name == "" {
		return "Route/" + r.Host + r.Prefix
	}
	return "Route/" + r.Name
}

func poolPlace(name string) string { return "Pool/" + name }

func workspacePlace(name string) string { return "Workspace/" + name }

// findings collects findings in the order in which they are added, each once.
type findings []Finding

func (f *findings) add(s Severity, r Rule, place, format string, args ...any) {
	n := Finding{Severity: s, Rule: r, Place: place, Text: fmt.Sprintf(format, args...)}
	if !slices.Contains(*f, n) {
		*f = append(*f, n)
	}
}
