// Package config loads and validates the settings of a node from a YAML file; unknown fields are errors.
//
// Usage:
//
//	settings, err := config.Load("/etc/auburnwinch/node.yaml")
//	if err != nil {
//		return err
//	}
//	self := settings.Self(incarnation)
package config
