package main

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFaultCommand(t *testing.T) {
	scenarios := []struct {
		testName      string
		args          []string
		expectedBody  string
		expectedError string
	}{
		{"on", []string{"log", "down"}, `{"target":"log","fault":"down","value":1}`, ""},
		{"with a value", []string{"log", "slow", "300"}, `{"target":"log","fault":"slow","value":300}`, ""},
		{"off", []string{"pour-01", "leaving", "0"}, `{"target":"pour-01","fault":"leaving","value":0}`, ""},
		{"refused", []string{"nobody", "paused"}, `{"target":"nobody","fault":"paused","value":1}`, "no such target"},
		{"a bad value", []string{"log", "slow", "soon"}, "", `VALUE "soon": expected a whole number of at least 0`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			body := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				body = string(data)
				if s.expectedError != "" {
					http.Error(w, s.expectedError, http.StatusNotFound)
				}
			}))
			defer server.Close()
			cmd := faultCommand()
			cmd.SetArgs(append(s.args, "--address", server.Listener.Addr().String()))
			cmd.SilenceErrors, cmd.SilenceUsage = true, true
			err := cmd.Execute()
			assert.Equal(t, body, s.expectedBody)
			if s.expectedError != "" {
				assert.ErrorContains(t, err, s.expectedError)
				return
			}
			assert.NilError(t, err)
		})
	}
}

func TestBadSettingsAreRejected(t *testing.T) {
	cmd := serveCommand()
	cmd.SetArgs([]string{"--settings", "/nowhere/stand.ini"})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	var bad *settingsError
	assert.Assert(t, errors.As(cmd.Execute(), &bad))
	assert.ErrorContains(t, bad, "/nowhere/stand.ini")
}
