package view

// Difference lists the services that differ between two views.
type Difference struct {
	// Changed are the services of the newer view that are missing or different in the older one.
	Changed []*Service
	// Removed are the names of the services that only the older view contains.
	Removed []string
}

// Since compares the view with an older one of the same builder by service pointer; if old is nil or a view of another
// node, all services count as changed.
func (v *View) Since(old *View) Difference {
	var d Difference
	known := &View{}
	if old != nil {
		known = old
	}
	for _, s := range v.Services {
		if previous := known.Service(s.Spec.Name); previous != s || known.Self != v.Self {
			d.Changed = append(d.Changed, s)
		}
	}
	for _, s := range known.Services {
		if v.Service(s.Spec.Name) == nil {
			d.Removed = append(d.Removed, s.Spec.Name)
		}
	}
	return d
}
