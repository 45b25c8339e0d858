package eject

// SetServices replaces the services and their announced targets, for tests that have no view.
func (t *Tracker) SetServices(services []Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerTouched()
	t.apply(t.module.Update(ServicesMsg{Now: t.config.Clock.Now(), Services: services}))
	t.dropAllUnannounced()
}

// dropAllUnannounced drops the cells of all targets that are not announced.
func (t *Tracker) dropAllUnannounced() {
	for ref := range t.index.byTarget {
		if !t.announced(ref) {
			t.drop(ref)
		}
	}
	clear(t.index.unannounced)
}
