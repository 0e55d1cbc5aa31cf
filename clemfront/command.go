package clemfront

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemquarantine"
	"github.com/clementineturn/clementineturn/clemspread"
)

// CommandConfig describes an operator's command to run.
type CommandConfig struct {
	// Args are the arguments after the command's name.
	Args     []string
	Out, Err io.Writer
	// NewStore returns a client of the store at the address.
	NewStore func(address string) clementineturn.Store
	// DefaultStore returns the store's address if none is given.
	DefaultStore func() (string, error)
}

const commandExitCodes = "Without arguments a front is run. Exit codes: 0 success, 1 failure, 2 wrong usage."

// RunCommand runs an operator's command and returns its exit code. The commands list the
// quarantined prompt parts and lift a quarantine.
func RunCommand(ctx context.Context, c CommandConfig) int {
	parser := flaggy.NewParser("clementine-front")
	parser.Description = "Quarantined prompt parts: parts of prompts that crash backend servers."
	parser.AdditionalHelpAppend = commandExitCodes
	var address, service, part string
	parser.String(&address, "s", "store", "Address of the platform's store. The default is that of the settings file.")
	list := flaggy.NewSubcommand("quarantines")
	list.Description = "List the quarantined prompt parts."
	lift := flaggy.NewSubcommand("lift")
	lift.Description = "Lift the quarantine of a prompt part: lift SERVICE PART. Fronts follow within a minute."
	lift.AddPositionalValue(&service, "SERVICE", 1, true, "The service, as listed.")
	lift.AddPositionalValue(&part, "PART", 2, true, "The part, as listed.")
	parser.AttachSubcommand(list, 1)
	parser.AttachSubcommand(lift, 1)
	cli := clemcli.Config{Parser: parser, Args: c.Args, Out: c.Out, Err: c.Err}
	if code, run := clemcli.Parse(cli); !run {
		return code
	}
	id, err := strconv.ParseUint(part, 16, 64)
	switch {
	case !list.Used && !lift.Used:
		return clemcli.Usage(cli, "a subcommand is needed: quarantines or lift")
	case lift.Used && err != nil:
		return clemcli.Usage(cli, "PART: %q is no hexadecimal number", part)
	}
	if address == "" {
		if address, err = c.DefaultStore(); err != nil {
			return clemcli.Usage(cli, "--store: %v", err)
		}
	}
	store := c.NewStore(address)
	if list.Used {
		err = listQuarantines(ctx, store, c.Out)
	} else {
		err = clemspread.LiftQuarantine(ctx, store, clemquarantine.Part{Service: service, ID: id}, time.Now())
	}
	if err != nil {
		fmt.Fprintln(c.Err, err)
		return clemcli.ExitFailed
	}
	return clemcli.ExitOK
}

func listQuarantines(ctx context.Context, store clementineturn.Store, out io.Writer) error {
	quarantines, err := clemspread.ReadQuarantines(ctx, store)
	if err != nil {
		return err
	}
	for _, q := range quarantines {
		state := "in force"
		if q.IsLifted {
			state = "lifted"
		}
		fmt.Fprintf(out, "%s %x: %d crashes, since %s, last seen %s, %s\n", q.Service, q.ID, q.Crashes, q.At.UTC().Format(time.RFC3339), q.LastSeen.UTC().Format(time.RFC3339), state)
	}
	return nil
}
