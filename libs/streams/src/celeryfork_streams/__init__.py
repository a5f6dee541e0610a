"""Token streams from chains of engines, with recovery partway."""
