package router

import "github.com/rotisserie/eris"

// Errors of this package; each message says how to fix the problem.
var (
	ErrInvalid = eris.New("invalid route")
	ErrNoRoute = eris.New("no route matches; check host and path against the tickets")
	ErrMethod  = eris.New("the route does not accept this method; check the methods of the route")
	ErrPath    = eris.New("the path must start with / and contain no dot segments; send the resolved path")
)
