package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/auburnwinch/auburnwinch/internal/fakes/cloud"
)

// platformCmd runs the stand-ins of the table service and the object store until SIGINT or SIGTERM.
type platformCmd struct {
	TableAddress   string `default:"127.0.0.1:7001" help:"Address of the table service."`
	ObjectAddress  string `default:"127.0.0.1:7002" help:"Address of the object store."`
	ControlAddress string `default:"127.0.0.1:7003" help:"Address of the control endpoint for faults and counters."`
	Table          string `default:"auburnwinch" help:"Name of the table."`
	Bucket         string `default:"auburnwinch" help:"Name of the bucket."`
	AccessKeyID    string `name:"access-key-id" default:"standin" help:"The only accepted access key."`
}

// platformReady is the JSON line written to standard output when all listeners are open.
type platformReady struct {
	TableEndpoint   string `json:"table-endpoint"`
	ObjectEndpoint  string `json:"object-endpoint"`
	ControlEndpoint string `json:"control-endpoint"`
}

// Run serves until SIGINT or SIGTERM.
func (c *platformCmd) Run() error {
	platform, err := cloud.Start(cloud.Config{
		TableAddress:   c.TableAddress,
		ObjectAddress:  c.ObjectAddress,
		ControlAddress: c.ControlAddress,
		Table:          c.Table,
		Bucket:         c.Bucket,
		AccessKeyID:    c.AccessKeyID,
	})
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	settings := platform.Settings()
	err = json.NewEncoder(os.Stdout).Encode(platformReady{
		TableEndpoint:   settings.TableEndpoint,
		ObjectEndpoint:  settings.ObjectEndpoint,
		ControlEndpoint: platform.ControlEndpoint(),
	})
	if err != nil {
		return err
	}
	<-stop
	return platform.Close()
}
