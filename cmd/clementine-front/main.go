// Command clementine-front runs a front: an entry that routes requests to
// backend servers without sidecars. It exits with 1 on a failure.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/clementineturn/clementineturn/clemfront"
	"github.com/clementineturn/clementineturn/clemsite"
	"github.com/clementineturn/clementineturn/platform"
)

func main() {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	config := newConfig(os.Getenv(platform.SettingsVariable))
	config.LogOutput, config.Stop, config.Reload = os.Stdout, stop, reload
	if err := clemfront.Run(context.Background(), config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
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
		Dialect: platform.Dialect{}, ConfigurationKey: platform.ConfigurationKey,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeServer: platform.DecodeServer,
	}
}
