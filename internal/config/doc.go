// Package config loads the settings of a node from a strictly checked YAML file.
//
// Usage:
//
//	settings, err := config.Load("/etc/auburnwinch/node.yaml")
//	if err != nil {
//		return err
//	}
//	self := settings.Self(incarnation)
package config
