package main

import "github.com/cockroachdb/errors"

var errNotWarm = errors.New("the tier does not answer wholly at rest")
