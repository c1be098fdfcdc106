// Package director chooses the instances that callers are told to use. A large deployment has far more instances than its traffic
// needs: few strong ones serve with less control traffic and fewer queues than all, while the others stand by.
package director
