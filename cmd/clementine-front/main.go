// Command clementine-front runs a front: an entry that routes requests to
// backend servers without sidecars. With arguments it runs an operator's command. It
// exits with 1 on a failure.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemfront"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/platform"
)

func main() {
	settingsPath := os.Getenv(platform.SettingsVariable)
	if len(os.Args) > 1 {
		os.Exit(clemfront.RunCommand(context.Background(), newCommand(settingsPath, os.Args[1:])))
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	config := newConfig(settingsPath)
	config.LogOutput, config.Stop, config.Reload = os.Stdout, stop, reload
	if err := clemfront.Run(context.Background(), config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// newCommand returns the configuration of an operator's command.
func newCommand(path string, args []string) clemfront.CommandConfig {
	return clemfront.CommandConfig{
		Args: args, Out: os.Stdout, Err: os.Stderr,
		NewStore: func(address string) clementineturn.Store {
			return platform.NewStore(platform.StoreConfig{Address: func() string { return address }})
		},
		DefaultStore: func() (string, error) {
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return "", err
			}
			return settings.StoreAddress(), nil
		},
	}
}

// newConfig returns the configuration of a front on the platform whose settings
// file is at the path.
func newConfig(path string) clemfront.Config {
	return clemfront.Config{
		ReadSettings: func() (*clemsite.Settings, error) { return platform.ReadSettings(path) },
		NewStore: func(address func() string, onCall func()) clemfront.Store {
			return platform.NewStore(platform.StoreConfig{Address: address, OnCall: onCall})
		},
		Dialect: platform.Dialect{}, ConfigurationKey: platform.ConfigurationKey, EvacuatedCentre: platform.EvacuatedCentre,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeServer: platform.DecodeServer,
	}
}
