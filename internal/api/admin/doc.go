// Package admin serves the operators over HTTP on the control instances.
//
// Queries are GET: /v1/document, /v1/history, /v1/orders, /v1/status,
// /v1/timeline. Commands are POST: /v1/edits, /v1/orders, /v1/drain. A team
// shows its name and key in X-Team and X-Team-Key.
//
// # Usage
//
//	s := admin.NewServer(admin.Config{Client: client, Pool: pool, Members: members})
//	mux.Handle("/v1/", s)
package admin
