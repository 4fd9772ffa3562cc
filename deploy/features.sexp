; Features that are switched on. A feature that is not named here is off: its code is not loaded.
; docs/operations has a page for each.
(features)
