package view

// Difference lists the services that one view has otherwise than another.
type Difference struct {
	// Changed are those of the newer view that the older one lacks or holds with another content.
	Changed []*Service
	// Removed are the names of those that only the older view has.
	Removed []string
}

// Since compares the view with an older one of the same builder by the identity of the services; nil, or a view of
// another node, makes all services changed.
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
