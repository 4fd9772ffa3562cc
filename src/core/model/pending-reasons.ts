/** Why a gang waits. */
export const NO_GANG_CAPACITY = 'no room for all tasks at once';
