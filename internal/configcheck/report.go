package configcheck

// maxListed limits the findings and the differences that a report lists, each.
const maxListed = 200

// Report is the result of a check; it lists errors first.
type Report struct {
	// Version is that of the configuration, or 0 if it can't be decoded.
	Version  uint64
	Errors   int
	Warnings int
	Findings []Finding
	// OmittedFindings is the number of findings that are counted and not listed.
	OmittedFindings int
	// Compared is nil if there was no version to compare with.
	Compared *Comparison `json:",omitempty"`
}

// Comparison is what differs from the version in force.
type Comparison struct {
	// Version is the one in force, or 0 if none is.
	Version     uint64
	Differences []Difference
	// OmittedDifferences is the number of differences that are not listed.
	OmittedDifferences int
}

// NewReport returns a report on a version with all its findings.
func NewReport(version uint64, all []Finding) Report {
	Sort(all)
	report := Report{
		Version:         version,
		Findings:        all[:min(len(all), maxListed)],
		OmittedFindings: max(len(all)-maxListed, 0),
	}
	for _, finding := range all {
		if finding.Severity == Error {
			report.Errors++
		} else {
			report.Warnings++
		}
	}
	if report.Findings == nil {
		report.Findings = []Finding{}
	}
	return report
}

// WithDifferences returns a copy of the report with all differences from a version, which is 0 if none is in force.
func (r Report) WithDifferences(version uint64, all []Difference) Report {
	r.Compared = &Comparison{
		Version:            version,
		Differences:        append([]Difference{}, all[:min(len(all), maxListed)]...),
		OmittedDifferences: max(len(all)-maxListed, 0),
	}
	return r
}
