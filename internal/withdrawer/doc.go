// Package withdrawer takes data centres and targets out of service and puts them back into service.
package withdrawer
