// Package model defines the data types that the nodes of the fleet, its tools and its callers share.
//
// Usage:
//
//	spec := model.ServiceSpec{Name: "courtview", FloorSlots: 50, Profile: model.ProfileCapacity}
//	if !model.ValidName(spec.Name) {
//		return fmt.Errorf("service name %q: use %s", spec.Name, model.NameRule)
//	}
package model
