package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

const maxRefusalBytes = 4096

type faultWire struct {
	Target string `json:"target"`
	Fault  string `json:"fault"`
	Value  int    `json:"value"`
}

func faultCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "fault TARGET FAULT [VALUE]",
		Short: "Switch a fault on (VALUE 1 or more) or off (VALUE 0)",
		Long: `Switches a fault on (VALUE 1 or more, 1 if left out) or off (VALUE 0).

TARGET log:     down, slow (milliseconds), answers-lost (the next VALUE appends take effect without an answer)
TARGET vm-list: down, frozen
TARGET a VM's name, all, rack:NAME or data-centre:NAME:
  paused, leaving, gone, fails-everything, late (milliseconds), short, crossed, no-return (from a reboot),
  action-answers-lost (the next VALUE reboots, reassignments and fences take effect without an answer)`,
		Example: "  stand fault log down\n  stand fault log slow 300\n  stand fault pour-01 leaving 0",
		Args:    cobra.RangeArgs(2, 3),
		RunE: func(_ *cobra.Command, args []string) error {
			value := 1
			if len(args) == 3 {
				n, err := strconv.Atoi(args[2])
				if err != nil || n < 0 {
					return eris.Errorf("VALUE %q: expected a whole number of at least 0", args[2])
				}
				value = n
			}
			return postFault(address, faultWire{args[0], args[1], value})
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:7000", "the stand's platform address")
	return cmd
}

func postFault(address string, fault faultWire) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return eris.Wrap(err, "fault")
	}
	resp, err := http.Post("http://"+address+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "stand not reached")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	return eris.New(strings.TrimSpace(string(text)))
}
