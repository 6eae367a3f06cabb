package quarantine

// stage is when a section crashes its runners.
type stage int

const (
	// beforeData means that runners end before any data of the answer arrives.
	beforeData stage = iota
	// afterData means that runners end soon after the first data of the answer. Requests that ran beside one with such a section may
	// have begun as recently, so only an answer that went on shows that a section is not of this kind.
	afterData
)

// stages lists all stages.
var stages = [...]stage{beforeData, afterData}

// suspect is a section that may crash runners in a stage. The stages have evidence of their own, since a section that crashes runners
// does so in the same stage each time, and one that ran beside it was in either.
type suspect struct {
	section string
	stage   stage
}

func suspectAt(section string, s stage) suspect {
	return suspect{
		section: section,
		stage:   s,
	}
}
