package eject

// SetServices replaces the services and their announced targets, for a user without a view.
func (t *Tracker) SetServices(services []Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerTouched()
	t.apply(t.module.Update(ServicesMsg{Now: t.config.Clock.Now(), Services: services}))
	t.dropGone()
}

// dropGone drops all targets that are not announced.
func (t *Tracker) dropGone() {
	for ref := range t.pairs.byTarget {
		if !t.announced(ref) {
			t.drop(ref)
		}
	}
	clear(t.pairs.unknown)
}
