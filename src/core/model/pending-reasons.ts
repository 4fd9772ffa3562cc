/** @file Reasons for which a job is pending, as its users see them. */

/** The tasks of a gang do not all fit at once. */
export const NO_GANG_CAPACITY = 'no room for all tasks at once';
