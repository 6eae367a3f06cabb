package cmdutil

import (
	"context"
	"errors"

	"github.com/cowsliparch/cowsliparch/pkg/iostreams"
	"github.com/cowsliparch/cowsliparch/pkg/operatorapi"
)

// PublishChange sends a change and reports its outcome, which is UnknownYet if the response is lost, as the change may have
// taken effect.
func PublishChange(ctx context.Context, streams *iostreams.IOStreams, client *operatorapi.Client, asJSON bool, change operatorapi.Change) error {
	outcome, err := client.Publish(ctx, change)
	var requestErr *operatorapi.RequestError
	if errors.As(err, &requestErr) {
		outcome = operatorapi.Outcome{
			ID:     change.ID,
			Answer: operatorapi.UnknownYet,
			Reason: err.Error(),
		}
	} else if err != nil {
		return err
	}
	return ReportOutcome(streams, asJSON, outcome)
}
